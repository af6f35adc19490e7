#ifndef ALMONDGATE_CORE_DIGEST_HPP
#define ALMONDGATE_CORE_DIGEST_HPP

#include <string>
#include <string_view>

namespace almondgate::core {

/// Returns the SHA-256 of `data` as 64 hexadecimal digits.
std::string sha256Hex(std::string_view data);

/// Returns `bytes` bytes of OpenSSL's random generator as hexadecimal digits.
std::string randomHex(int bytes);

/// Compares two strings in a time that does not depend on where they differ.
bool equalConstantTime(std::string_view a, std::string_view b);

} // namespace almondgate::core

#endif
