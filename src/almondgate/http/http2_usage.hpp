#ifndef ALMONDGATE_HTTP_HTTP2_USAGE_HPP
#define ALMONDGATE_HTTP_HTTP2_USAGE_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace almondgate::http {

/// Estimates what an HTTP/2 connection makes h2o hold, which h2o 2.2 neither
/// limits nor tells: streams, their incomplete bodies and the answers to frames
/// that the client doesn't read. Reads the frame headers of the bytes that
/// arrive (RFC 7540, section 4.1); counts nothing until it finds the preface of
/// an HTTP/2 connection.
class Http2Usage {
public:
  /// Bytes that h2o holds for a stream beside its header fields and body.
  static constexpr size_t StreamBytes = size_t{8} * 1024;
  /// h2o refuses streams beyond these, and then holds nothing for them.
  static constexpr size_t MaxStreams = 100;

  /// h2o resets a stream whose body becomes larger than `max_body_bytes`.
  explicit Http2Usage(size_t max_body_bytes) : MaxBodyBytes(max_body_bytes) {}

  /// Counts bytes that have arrived. With `answers_unread` the answers to
  /// earlier frames are still held, because the client doesn't read them.
  void receive(std::string_view bytes, bool answers_unread);

  /// The stream's request has been answered or given up.
  void close(uint32_t stream);

  bool isHttp2() const { return At != Part::Preface; }
  bool hasStreams() const { return !Streams.empty(); }
  size_t heldBytes() const;

private:
  enum class Part { Preface, Header, Payload };

  void findPreface(std::string_view &bytes);
  void readHeader(std::string_view &bytes);
  void readPayload(std::string_view &bytes);
  void onFrame(uint8_t type, uint32_t stream);

  size_t MaxBodyBytes;
  Part At = Part::Preface;
  /// The beginning of a preface or frame header whose rest has not arrived.
  std::string Partial;
  /// Bytes of the current frame that have not arrived.
  size_t PayloadLeft = 0;
  uint32_t PayloadStream = 0;
  bool PayloadIsHeld = false;
  /// Bytes of header fields and body by open stream.
  std::map<uint32_t, size_t> Streams;
  uint32_t LastStream = 0;
  size_t StreamContent = 0;
  size_t UnreadAnswers = 0;
};

} // namespace almondgate::http

#endif
