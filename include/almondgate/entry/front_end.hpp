#ifndef ALMONDGATE_ENTRY_FRONT_END_HPP
#define ALMONDGATE_ENTRY_FRONT_END_HPP

#include "almondgate/entry/caller_request.hpp"

namespace almondgate::entry {

inline constexpr const char *QueuePrefix = "/q/";
inline constexpr const char *CancelPrefix = "/cancel/";

/// Parses a caller's HTTP request to QueuePrefix + queue [+ path]. Uses
/// `fallback_id` if the caller sent no request id. Errors: InvalidArgument,
/// TooLarge.
core::Result<CallerRequest> parseCallerRequest(const http::Request &request,
                                               const std::string &fallback_id);

/// Returns the key in "Authorization: Bearer KEY", or an empty string.
std::string bearerKey(const http::Headers &headers);

} // namespace almondgate::entry

#endif
