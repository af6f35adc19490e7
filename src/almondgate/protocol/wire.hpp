#ifndef ALMONDGATE_PROTOCOL_WIRE_HPP
#define ALMONDGATE_PROTOCOL_WIRE_HPP

namespace almondgate::protocol {

/// Request paths are PathPrefix followed by the method's name; the number is
/// the protocol version.
inline constexpr const char *PathPrefix = "/almondgate/1/";
/// Header field that carries the cluster's shared secret.
inline constexpr const char *SecretHeader = "almondgate-secret";

} // namespace almondgate::protocol

#endif
