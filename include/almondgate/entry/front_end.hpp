#ifndef ALMONDGATE_ENTRY_FRONT_END_HPP
#define ALMONDGATE_ENTRY_FRONT_END_HPP

#include "almondgate/entry/caller_request.hpp"

namespace almondgate::entry {

inline constexpr const char *QueuePrefix = "/q/";
inline constexpr const char *CancelPrefix = "/cancel/";

/// Reads a caller's HTTP request to QueuePrefix + queue [+ path]. `fallback_id`
/// names it where the caller does not. Errors: InvalidArgument, TooLarge.
core::Result<CallerRequest> parseCallerRequest(const http::Request &request,
                                               const std::string &fallback_id);

/// The key in "Authorization: Bearer KEY", or empty.
std::string bearerKey(const http::Headers &headers);

} // namespace almondgate::entry

#endif
