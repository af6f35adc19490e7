#ifndef ALMONDGATE_PROTOCOL_WIRE_HPP
#define ALMONDGATE_PROTOCOL_WIRE_HPP

namespace almondgate::protocol {

/// Paths are PathPrefix + method name; the number is the protocol's version.
inline constexpr const char *PathPrefix = "/almondgate/1/";
inline constexpr const char *SecretHeader = "almondgate-secret";

} // namespace almondgate::protocol

#endif
