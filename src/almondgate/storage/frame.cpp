#include "almondgate/storage/frame.hpp"

#include <zlib.h>

#include <cstring>

namespace almondgate::storage {

namespace {

constexpr std::string_view Magic = "AGF1";
constexpr size_t LengthBytes = 4;
constexpr size_t CrcBytes = 4;
constexpr size_t HeaderBytes = 4 + LengthBytes + CrcBytes;

void putU32(std::string &out, uint32_t n) {
  for (int shift = 0; shift < 32; shift += 8)
    out.push_back(static_cast<char>(n >> shift));
}

uint32_t getU32(std::string_view in, size_t at) {
  uint32_t n = 0;
  for (size_t i = 0; i < 4; ++i)
    n |= uint32_t(static_cast<unsigned char>(in[at + i])) << (8 * i);
  return n;
}

uint32_t crcOf(std::string_view payload) {
  const auto *data = reinterpret_cast<const Bytef *>(payload.data());
  uint32_t n = static_cast<uint32_t>(payload.size());
  uLong crc = crc32(0, reinterpret_cast<const Bytef *>(&n), sizeof(n));
  return static_cast<uint32_t>(crc32(crc, data, uInt(payload.size())));
}

// Sets `payload` and returns true if there is an intact frame at `at`.
bool readFrame(std::string_view file, size_t at, std::string_view &payload) {
  if (file.size() - at < HeaderBytes || file.substr(at, 4) != Magic)
    return false;
  const size_t n = getU32(file, at + 4);
  if (file.size() - at - HeaderBytes < n)
    return false;
  payload = file.substr(at + HeaderBytes, n);
  return crcOf(payload) == getU32(file, at + 4 + LengthBytes);
}

bool hasIntactFrameAfter(std::string_view file, size_t at) {
  std::string_view payload;
  size_t next = file.find(Magic, at + 1);
  while (next != std::string_view::npos) {
    if (readFrame(file, next, payload))
      return true;
    next = file.find(Magic, next + 1);
  }
  return false;
}

} // namespace

std::string encodeFrame(std::string payload) {
  std::string out(Magic);
  out.reserve(HeaderBytes + payload.size());
  putU32(out, static_cast<uint32_t>(payload.size()));
  putU32(out, crcOf(payload));
  out.append(payload);
  // The parameter lives until the caller has written the frame; a large
  // snapshot would be held twice until then.
  std::string().swap(payload);
  return out;
}

core::Result<Frames> decodeFrames(std::string_view file) {
  Frames out;
  std::string_view payload;
  while (out.ValidBytes < file.size()) {
    if (!readFrame(file, out.ValidBytes, payload))
      break;
    out.Payloads.emplace_back(payload);
    out.ValidBytes += HeaderBytes + payload.size();
  }
  if (out.ValidBytes < file.size() && hasIntactFrameAfter(file, out.ValidBytes))
    return core::Error{core::ErrorCode::Corrupt,
                       "damaged record at byte " +
                           std::to_string(out.ValidBytes) +
                           ", followed by intact records"};
  return out;
}

} // namespace almondgate::storage
