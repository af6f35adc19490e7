#ifndef ALMONDGATE_CORE_DIGEST_HPP
#define ALMONDGATE_CORE_DIGEST_HPP

#include <string>
#include <string_view>

namespace almondgate::core {

/// The SHA-256 of `data` as 64 hexadecimal digits.
std::string sha256Hex(std::string_view data);

/// `bytes` random bytes of the system's generator as hexadecimal digits.
std::string randomHex(int bytes);

/// Compares in a time that does not depend on where the texts differ.
bool equalConstantTime(std::string_view a, std::string_view b);

} // namespace almondgate::core

#endif
