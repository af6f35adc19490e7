#ifndef ALMONDGATE_CTL_CLIENT_HPP
#define ALMONDGATE_CTL_CLIENT_HPP

#include "almondgate/core/address.hpp"
#include "almondgate/core/result.hpp"
#include "almondgate/http/response.hpp"

#include <string>
#include <vector>

namespace almondgate::ctl {

/// Blocking client of the operators' API.
class Client {
public:
  Client(std::vector<core::Address> entries, std::string key);

  /// Tries the entries in turn until one responds. Each gets the same body, so
  /// a change that was already accepted gets its first response again. Errors:
  /// Unavailable.
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
