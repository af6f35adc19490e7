#ifndef ALMONDGATE_PROTOCOL_HTTP2_SESSION_HPP
#define ALMONDGATE_PROTOCOL_HTTP2_SESSION_HPP

#include "held_bytes.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

struct nghttp2_session;

namespace almondgate::protocol {

/// An HTTP/2 header field.
struct HeaderField {
  std::string Name;
  std::string Value;
};

/// The message received on one stream.
struct IncomingStream {
  std::vector<HeaderField> Headers;
  size_t HeaderBytes = 0;
  std::string Body;
  HeldBytes Held;
  /// True once the header fields are complete and the message was accepted.
  bool Accepted = false;

  /// The value of a header field; empty if there is none.
  std::string_view header(std::string_view name) const;
  /// The length that the sender announced; 0 if there is none.
  size_t contentLength() const;
};

/// Callbacks of an Http2Session. None is called by nghttp2's own callbacks
/// except OnHeaders and OnRefused, which must not throw.
struct Http2SessionHooks {
  /// Writes bytes to the connection.
  std::function<void(std::string)> Send;
  /// Number of bytes that the connection takes now.
  std::function<size_t()> SendRoom;
  /// The header fields of a message are complete. Returns false to ignore the
  /// rest of the message; else it has reserved the announced length.
  std::function<bool(int32_t stream, IncomingStream &)> OnHeaders;
  /// The body of an accepted message does not fit, and is ignored.
  std::function<void(int32_t stream)> OnRefused;
  /// A complete message was received on the stream.
  std::function<void(int32_t stream, IncomingStream &)> OnMessage;
  /// The stream has closed; called after OnMessage if a message was received.
  std::function<void(int32_t stream)> OnStreamClosed;
};

/// An HTTP/2 session, based on nghttp2, that sends and receives complete
/// messages.
class Http2Session {
public:
  Http2Session(bool server, size_t max_body_bytes, Http2SessionHooks hooks);
  ~Http2Session();
  Http2Session(const Http2Session &) = delete;
  Http2Session &operator=(const Http2Session &) = delete;

  /// Processes bytes from the peer; returns false if the session has failed.
  bool receive(std::string_view data);

  /// Lets the peer send large bodies.
  void widenWindows();

  /// Opens a stream and queues a complete request. Returns the stream's id, or
  /// a negative number on failure. Bodies of one lane are sent one after
  /// another.
  int32_t request(const std::vector<HeaderField> &headers, std::string body,
                  HeldBytes held, int lane);

  /// Queues a complete response on a stream.
  void respond(int32_t stream, const std::vector<HeaderField> &headers,
               std::string body, HeldBytes held);

  /// Cancels what is not sent yet of an answered request.
  void cancelRequest(int32_t stream);

  /// Cancels a stream.
  void reset(int32_t stream);

  /// Sends queued frames, as far as the connection takes them.
  void flush();

  /// True while a body is queued that is not completely sent.
  bool hasUnsent() const { return !OutgoingBodies.empty(); }
  /// Number of body bytes sent so far.
  uint64_t sentBytes() const { return SentBytes; }

private:
  struct OutgoingBody {
    std::string Body;
    HeldBytes Held;
    size_t Sent = 0;
    std::optional<int> Lane;
  };
  /// A message, or the end of a stream.
  struct Event {
    int32_t Stream = 0;
    bool Closed = false;
    IncomingStream Message;
  };
  friend struct SessionCallbacks;

  void deliver();
  bool isFirstOfLane(int32_t stream, const OutgoingBody &body) const;
  void dropBody(int32_t stream);
  void resumeDeferred();

  nghttp2_session *Session = nullptr;
  const size_t MaxBodyBytes;
  const Http2SessionHooks Hooks;
  std::map<int32_t, IncomingStream> IncomingStreams;
  std::map<int32_t, OutgoingBody> OutgoingBodies;
  /// Streams with an unsent body, by lane. Only the first of a lane is sent.
  std::map<int, std::set<int32_t>> Lanes;
  /// Streams that have become the first of their lane.
  std::vector<int32_t> Resumable;
  std::vector<Event> Events;
  uint64_t SentBytes = 0;
};

} // namespace almondgate::protocol

#endif
