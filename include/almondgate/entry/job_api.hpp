#ifndef ALMONDGATE_ENTRY_JOB_API_HPP
#define ALMONDGATE_ENTRY_JOB_API_HPP

#include "almondgate/core/result.hpp"
#include "almondgate/http/request.hpp"
#include "almondgate/http/response.hpp"
#include "almondgate/jobs/explain_request.hpp"
#include "almondgate/jobs/explanation.hpp"
#include "almondgate/jobs/fleet_config.hpp"
#include "almondgate/jobs/job_call.hpp"
#include "almondgate/jobs/job_reply.hpp"

#include <functional>
#include <string>

namespace almondgate::entry {

inline constexpr const char *JobsPrefix = "/jobs/";
inline constexpr const char *FleetPath = "/admin/v1/fleet";
inline constexpr const char *ExplainPath = "/admin/v1/explain";

/// Operations that JobApi needs from its host.
struct JobApiHooks {
  template <class T> using On = std::function<void(core::Result<T>)>;

  std::function<void(const jobs::JobCall &, On<jobs::JobReply>)> Call;
  std::function<bool(const http::Request &)> IsOperator;
  std::function<void(const jobs::FleetConfig &, On<void>)> Configure;
  std::function<void(On<jobs::FleetConfig>)> ReadConfig;
  std::function<void(const jobs::ExplainRequest &, On<jobs::Explanation>)>
      Explain;
};

/// The native HTTP API for jobs and the fleet configuration; see docs/API.md.
class JobApi {
public:
  using Respond = std::function<void(const http::Response &)>;

  explicit JobApi(JobApiHooks hooks);

  /// True if handle() serves requests with this target.
  static bool serves(const std::string &target);

  void handle(const http::Request &request, const Respond &respond) const;

private:
  void fleet(const http::Request &request, const Respond &respond) const;
  void explain(const http::Request &request, const Respond &respond) const;
  void job(const http::Request &request, const Respond &respond) const;

  const JobApiHooks Hooks;
};

} // namespace almondgate::entry

#endif
