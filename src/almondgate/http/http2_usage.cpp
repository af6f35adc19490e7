#include "http2_usage.hpp"

#include <algorithm>

namespace almondgate::http {

namespace {

constexpr std::string_view Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
constexpr size_t HeaderBytes = 9;
constexpr size_t TypeAt = 3;
constexpr size_t StreamAt = 5;
// Bytes of the largest answer to a frame, a PING with its payload.
constexpr size_t AnswerBytes = 17;
// h2o doubles the capacity of its buffers as they grow.
constexpr size_t BufferFactor = 2;
constexpr int ByteBits = 8;
constexpr uint32_t StreamMask = 0x7fffffff;

enum FrameType : uint8_t {
  Data = 0,
  HeaderFields = 1,
  Priority = 2,
  ResetStream = 3,
  GoAway = 7,
  WindowUpdate = 8,
  Continuation = 9
};

// Whether frames of this type may be answered by one of their own, such as an
// acknowledgement.
bool isAnswered(uint8_t type) {
  return type != Priority && type != ResetStream && type != GoAway &&
         type != WindowUpdate;
}

uint32_t readNumber(std::string_view bytes) {
  uint32_t n = 0;
  for (const char c : bytes)
    n = n << ByteBits | uint8_t(c);
  return n;
}

} // namespace

void Http2Usage::receive(std::string_view bytes, bool answers_unread) {
  if (!answers_unread)
    UnreadAnswers = 0;
  while (!bytes.empty()) {
    if (At == Part::Preface)
      findPreface(bytes);
    else if (At == Part::Header)
      readHeader(bytes);
    else
      readPayload(bytes);
  }
}

// A connection may begin with HTTP/1 and be upgraded.
void Http2Usage::findPreface(std::string_view &bytes) {
  constexpr size_t MaxPartial = Preface.size() - 1;
  const size_t kept = Partial.size();
  const size_t at = bytes.find(Preface);
  Partial += bytes.substr(0, MaxPartial);
  const size_t across = Partial.find(Preface);
  if (across != std::string::npos || at != std::string_view::npos) {
    bytes.remove_prefix(across != std::string::npos
                            ? across + Preface.size() - kept
                            : at + Preface.size());
    Partial.clear();
    At = Part::Header;
    return;
  }
  if (bytes.size() > MaxPartial)
    Partial = bytes.substr(bytes.size() - MaxPartial);
  else
    Partial.erase(0, Partial.size() - std::min(Partial.size(), MaxPartial));
  bytes = {};
}

void Http2Usage::readHeader(std::string_view &bytes) {
  const size_t n = std::min(bytes.size(), HeaderBytes - Partial.size());
  Partial += bytes.substr(0, n);
  bytes.remove_prefix(n);
  if (Partial.size() < HeaderBytes)
    return;
  const std::string_view header = Partial;
  PayloadLeft = readNumber(header.substr(0, TypeAt));
  const uint32_t stream = readNumber(header.substr(StreamAt)) & StreamMask;
  onFrame(uint8_t(header[TypeAt]), stream);
  Partial.clear();
  At = PayloadLeft > 0 ? Part::Payload : Part::Header;
}

void Http2Usage::onFrame(uint8_t type, uint32_t stream) {
  PayloadStream = stream;
  PayloadIsHeld = type == Data || type == HeaderFields || type == Continuation;
  if (type == ResetStream)
    close(stream);
  if (type == HeaderFields && stream > LastStream) {
    LastStream = stream;
    if (Streams.size() < MaxStreams)
      Streams.emplace(stream, 0);
  }
  // Frames of an open stream get no answer of their own, others a reset.
  if (isAnswered(type) && !(PayloadIsHeld && Streams.contains(stream)))
    UnreadAnswers += AnswerBytes;
}

void Http2Usage::readPayload(std::string_view &bytes) {
  const size_t n = std::min(bytes.size(), PayloadLeft);
  bytes.remove_prefix(n);
  PayloadLeft -= n;
  if (PayloadLeft == 0)
    At = Part::Header;
  const auto it = Streams.find(PayloadStream);
  if (!PayloadIsHeld || it == Streams.end())
    return;
  it->second += n;
  StreamContent += n;
  if (it->second > MaxBodyBytes)
    close(PayloadStream);
}

void Http2Usage::close(uint32_t stream) {
  const auto it = Streams.find(stream);
  if (it == Streams.end())
    return;
  StreamContent -= it->second;
  Streams.erase(it);
}

size_t Http2Usage::heldBytes() const {
  return Streams.size() * StreamBytes +
         (StreamContent + UnreadAnswers) * BufferFactor;
}

} // namespace almondgate::http
