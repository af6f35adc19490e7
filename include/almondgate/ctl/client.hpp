#ifndef ALMONDGATE_CTL_CLIENT_HPP
#define ALMONDGATE_CTL_CLIENT_HPP

#include "almondgate/core/address.hpp"
#include "almondgate/core/result.hpp"
#include "almondgate/http/response.hpp"

#include <string>
#include <vector>

namespace almondgate::ctl {

/// Calls the operators' API, one request at a time.
class Client {
public:
  Client(std::vector<core::Address> entries, std::string key);

  /// Tries the entries in turn until one answers. The same body is sent to
  /// each: a change that was taken already gets its first answer again.
  /// Errors: Unavailable.
  core::Result<http::Response> call(const std::string &method,
                                    const std::string &path,
                                    const std::string &body = "");

private:
  core::Result<http::Response> callOne(const core::Address &entry,
                                       const std::string &method,
                                       const std::string &path,
                                       const std::string &body);

  const std::vector<core::Address> Entries;
  const std::string Key;
};

} // namespace almondgate::ctl

#endif
