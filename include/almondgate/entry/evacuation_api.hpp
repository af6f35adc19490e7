#ifndef ALMONDGATE_ENTRY_EVACUATION_API_HPP
#define ALMONDGATE_ENTRY_EVACUATION_API_HPP

#include "almondgate/core/id.hpp"
#include "almondgate/core/result.hpp"
#include "almondgate/http/request.hpp"
#include "almondgate/http/response.hpp"
#include "almondgate/jobs/evacuation_change.hpp"
#include "almondgate/jobs/evacuation_list.hpp"

#include <functional>
#include <string>

namespace almondgate::entry {

inline constexpr const char *EvacuationsPath = "/admin/v1/evacuations";

/// Operations that EvacuationApi needs from its host.
struct EvacuationApiHooks {
  template <class T> using On = std::function<void(core::Result<T>)>;
  using IsWanted = std::function<bool()>;

  /// The operator whose key is in the request. Errors: Unauthenticated.
  std::function<core::Result<core::OperatorId>(const http::Request &)>
      Authenticate;
  /// Carries out a change, as protocol::changeEvacuation() does.
  std::function<void(const jobs::EvacuationChange &, IsWanted, On<void>)>
      Change;
  std::function<void(On<jobs::EvacuationList>)> List;
};

/// The HTTP API for evacuations of zones; see docs/API.md.
class EvacuationApi {
public:
  using Respond = std::function<void(const http::Response &)>;

  explicit EvacuationApi(EvacuationApiHooks hooks);

  /// True if handle() serves requests with this target.
  static bool serves(const std::string &target);

  /// `is_wanted` tells whether the caller still waits for the response.
  void handle(const http::Request &request,
              const EvacuationApiHooks::IsWanted &is_wanted,
              const Respond &respond) const;

private:
  void list(const Respond &respond) const;

  const EvacuationApiHooks Hooks;
};

} // namespace almondgate::entry

#endif
