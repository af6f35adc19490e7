#include "almondgate/http/path_segment.hpp"

#include <cctype>
#include <charconv>

namespace almondgate::http {

namespace {

constexpr int Hexadecimal = 16;
constexpr size_t EscapeDigits = 2;
constexpr unsigned LowDigit = 0xf;
constexpr unsigned DigitBits = 4;

} // namespace

core::Result<std::string> decodeSegment(std::string_view segment) {
  std::string out;
  for (size_t i = 0; i < segment.size(); ++i) {
    if (segment[i] != '%') {
      out += segment[i];
      continue;
    }
    const auto digits = segment.substr(i + 1, EscapeDigits);
    unsigned byte = 0;
    const auto [end, ec] = std::from_chars(
        digits.data(), digits.data() + digits.size(), byte, Hexadecimal);
    if (digits.size() < EscapeDigits || ec != std::errc() ||
        end != digits.data() + digits.size())
      return core::Error{core::ErrorCode::InvalidArgument,
                         "an escape in the path is incomplete"};
    out += char(byte);
    i += EscapeDigits;
  }
  return out;
}

std::string encodeSegment(std::string_view text) {
  constexpr std::string_view Digits = "0123456789ABCDEF";
  std::string out;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 ||
        std::string_view("-._~").find(c) != std::string_view::npos) {
      out += c;
      continue;
    }
    out += '%';
    out += Digits[byte >> DigitBits];
    out += Digits[byte & LowDigit];
  }
  return out;
}

} // namespace almondgate::http
