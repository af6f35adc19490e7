#ifndef ALMONDGATE_PROTOCOL_HTTP2_SESSION_HPP
#define ALMONDGATE_PROTOCOL_HTTP2_SESSION_HPP

#include <cstdint>
#include <functional>
#include <map>
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
  std::string Body;

  /// The value of a header field; empty if there is none.
  std::string_view header(std::string_view name) const;
};

/// Callbacks of an Http2Session.
struct Http2SessionHooks {
  /// Writes bytes to the connection.
  std::function<void(std::string)> Send;
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

  /// Opens a stream and queues a complete request. Returns the stream's id, or
  /// a negative number on failure.
  int32_t request(const std::vector<HeaderField> &headers, std::string body);

  /// Queues a complete response on a stream.
  void respond(int32_t stream, const std::vector<HeaderField> &headers,
               std::string body);

  /// Cancels a stream.
  void reset(int32_t stream);

  /// Sends all queued frames.
  void flush();

private:
  struct OutgoingBody {
    std::string Body;
    size_t Sent = 0;
  };
  friend struct SessionCallbacks;

  nghttp2_session *Session = nullptr;
  const size_t MaxBodyBytes;
  const Http2SessionHooks Hooks;
  std::map<int32_t, IncomingStream> IncomingStreams;
  std::map<int32_t, OutgoingBody> OutgoingBodies;
};

} // namespace almondgate::protocol

#endif
