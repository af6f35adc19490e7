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

/// A header field of a stream.
struct HeaderField {
  std::string Name;
  std::string Text;
};

/// One stream's incoming half.
struct IncomingStream {
  std::vector<HeaderField> Headers;
  std::string Body;

  /// The value of a header, or empty.
  std::string_view header(std::string_view name) const;
};

/// What the owner of a session does with its events.
struct Http2SessionHooks {
  std::function<void(std::string)> Send;
  /// The peer's half of the stream is whole.
  std::function<void(int32_t stream, IncomingStream &)> OnMessage;
  /// The stream ended; called after OnMessage where there was one.
  std::function<void(int32_t stream)> OnStreamClosed;
};

/// An HTTP/2 session by nghttp2, with whole messages in and out.
class Http2Session {
public:
  Http2Session(bool server, size_t max_body_bytes, Http2SessionHooks hooks);
  ~Http2Session();
  Http2Session(const Http2Session &) = delete;
  Http2Session &operator=(const Http2Session &) = delete;

  /// Feeds bytes from the peer; false when the session is broken.
  bool receive(std::string_view data);

  /// Opens a stream with a whole request; a negative number on failure.
  int32_t request(const std::vector<HeaderField> &headers, std::string body);

  /// Answers a stream with a whole response.
  void respond(int32_t stream, const std::vector<HeaderField> &headers,
               std::string body);

  /// Gives up a stream.
  void reset(int32_t stream);

  /// Sends what is queued.
  void flush();

private:
  struct Outgoing {
    std::string Body;
    size_t Sent = 0;
  };
  friend struct SessionCallbacks;

  nghttp2_session *Raw = nullptr;
  const size_t MaxBodyBytes;
  const Http2SessionHooks Hooks;
  std::map<int32_t, IncomingStream> Incoming;
  std::map<int32_t, Outgoing> Bodies;
};

} // namespace almondgate::protocol

#endif
