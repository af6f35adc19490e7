#ifndef ALMONDGATE_ENDPOINT_RUN_CODEC_HPP
#define ALMONDGATE_ENDPOINT_RUN_CODEC_HPP

#include "almondgate/core/result.hpp"
#include "almondgate/dispatch/renew_reply.hpp"

#include <string>
#include <string_view>

namespace almondgate::endpoint {

/// The bytes of a message about runs, for the inner protocol. T is StartOrder,
/// StopOrder, PaceOrder, OrderReply, RenewRequest or RunInventory.
template <class T> std::string encodeRun(const T &value);

/// The reverse of encodeRun(). Errors: Corrupt.
template <class T> core::Result<T> decodeRun(std::string_view bytes);

} // namespace almondgate::endpoint

#endif
