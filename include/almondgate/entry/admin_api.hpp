#ifndef ALMONDGATE_ENTRY_ADMIN_API_HPP
#define ALMONDGATE_ENTRY_ADMIN_API_HPP

#include "almondgate/consensus/membership.hpp"
#include "almondgate/core/result.hpp"
#include "almondgate/http/request.hpp"
#include "almondgate/http/response.hpp"
#include "almondgate/model/view.hpp"
#include "almondgate/state/audit_entry.hpp"
#include "almondgate/state/change.hpp"
#include "almondgate/state/change_result.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace almondgate::entry {

/// Operations that AdminApi needs from its host.
struct AdminHooks {
  template <class T> using On = std::function<void(core::Result<T>)>;

  std::function<const model::View &()> View;
  std::function<bool()> IsFresh;
  std::function<int64_t()> WallClock;
  std::function<void(const state::Change &, On<state::ChangeResult>)> Propose;
  /// Calls back when this entry's view has reached the revision, or after a
  /// timeout.
  std::function<void(uint64_t revision, std::function<void()>)> WhenApplied;
  std::function<void(On<std::vector<state::AuditEntry>>)> Audit;
  /// The conditions that a wave waits for.
  std::function<void(const core::WaveId &, On<std::vector<std::string>>)>
      WaveHoldups;
  std::function<void(On<consensus::Membership>)> Members;
  std::function<void(const consensus::MemberReplacement &, On<void>)> Replace;
};

/// HTTP API for operators; see docs/API.md.
class AdminApi {
public:
  using Respond = std::function<void(const http::Response &)>;

  /// `operators` maps the SHA-256 of an API key to its operator.
  AdminApi(std::map<std::string, core::OperatorId> operators, AdminHooks hooks);

  /// The operator that the key in the request belongs to. Errors:
  /// Unauthenticated.
  core::Result<core::OperatorId> authenticate(const http::Request &r) const;

  /// Answers a request whose target starts with AdminPrefix.
  void handle(const http::Request &request, const Respond &respond);

private:
  void get(const std::string &path, const Respond &respond);
  void post(const core::OperatorId &who, const std::string &path,
            const std::string &body, const Respond &respond);
  void change(const core::OperatorId &who, const std::string &body,
              bool dry_run, const Respond &respond);

  const std::map<std::string, core::OperatorId> Operators;
  const AdminHooks Hooks;
};

inline constexpr const char *AdminPrefix = "/admin/v1/";

} // namespace almondgate::entry

#endif
