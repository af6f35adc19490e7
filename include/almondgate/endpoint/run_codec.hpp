#ifndef ALMONDGATE_ENDPOINT_RUN_CODEC_HPP
#define ALMONDGATE_ENDPOINT_RUN_CODEC_HPP

#include "almondgate/core/result.hpp"
#include "almondgate/dispatch/renew_reply.hpp"

#include <string>
#include <string_view>

namespace almondgate::endpoint {

/// Encodes a message about runs as CBOR for the inner protocol. T is
/// StartOrder, StopOrder, PaceOrder, OrderReply, RenewRequest or RunInventory.
template <class T> std::string encodeRun(const T &value);

/// Decodes the output of encodeRun(). Errors: Corrupt.
template <class T> core::Result<T> decodeRun(std::string_view bytes);

} // namespace almondgate::endpoint

#endif
