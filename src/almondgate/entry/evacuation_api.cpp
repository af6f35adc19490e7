#include "almondgate/entry/evacuation_api.hpp"
#include "almondgate/encoding/codec.hpp"
#include "almondgate/http/json_body.hpp"
#include "almondgate/http/path_segment.hpp"

#include <algorithm>

namespace almondgate::entry {

using core::Error;
using core::ErrorCode;
using core::Result;
using jobs::EvacuationChange;

namespace {

// Reads the change from PUT or DELETE EvacuationsPath/ZONE with a body of
// {"Reason": "..."}.
Result<EvacuationChange> readChange(const http::Request &request,
                                    const core::OperatorId &by) {
  EvacuationChange change;
  change.Evacuate = request.Method == "PUT";
  if (!change.Evacuate && request.Method != "DELETE")
    return Error{ErrorCode::InvalidArgument,
                 "method " + request.Method +
                     " is not supported; use GET, PUT or DELETE"};
  const size_t prefix = std::string(EvacuationsPath).size() + 1;
  const auto zone = http::decodeSegment(
      request.Target.substr(std::min(prefix, request.Target.size())));
  if (!zone)
    return zone.error();
  change.Zone = core::ZoneId(zone.value());
  change.By = by.str();
  const auto body = nlohmann::json::parse(request.Body, nullptr, false);
  if (body.is_object() && body.size() == 1 && body.contains("Reason") &&
      body["Reason"].is_string())
    change.Reason = body["Reason"].get<std::string>();
  if (change.Reason.empty())
    return Error{ErrorCode::InvalidArgument,
                 R"(the body must be {"Reason": "..."} with a reason)"};
  if (auto valid = jobs::checkEvacuation(change); !valid)
    return valid.error();
  return change;
}

} // namespace

EvacuationApi::EvacuationApi(EvacuationApiHooks hooks)
    : Hooks(std::move(hooks)) {}

bool EvacuationApi::serves(const std::string &target) {
  const std::string path = EvacuationsPath;
  return target == path || target.starts_with(path + "/");
}

void EvacuationApi::handle(const http::Request &request,
                           const EvacuationApiHooks::IsWanted &is_wanted,
                           const Respond &respond) const {
  const auto by = Hooks.Authenticate(request);
  if (!by) {
    respond(http::problemResponse(by.error()));
    return;
  }
  if (request.Method == "GET" && request.Target == EvacuationsPath) {
    list(respond);
    return;
  }
  const auto change = readChange(request, by.value());
  if (!change) {
    respond(http::problemResponse(change.error()));
    return;
  }
  Hooks.Change(change.value(), is_wanted, [respond](const auto &status) {
    respond(status ? http::jsonResponse(200, "{}")
                   : http::problemResponse(status.error()));
  });
}

void EvacuationApi::list(const Respond &respond) const {
  Hooks.List([respond](const Result<jobs::EvacuationList> &found) {
    if (!found) {
      respond(http::problemResponse(found.error()));
      return;
    }
    using nlohmann::json;
    json zones = json::array();
    for (const auto &[zone, record] : found.value().Zones) {
      json remaining = json::array();
      for (const auto &row : found.value().Remaining)
        if (row.Zone == zone)
          remaining.push_back({{"Endpoint", row.Id.str()},
                               {"ShortRuns", row.ShortRuns},
                               {"LongRuns", row.LongRuns}});
      zones.push_back({{"Zone", zone.str()},
                       {"By", record.By},
                       {"Reason", record.Reason},
                       {"SinceWallMs", record.SinceWallMs},
                       {"Remaining", remaining}});
    }
    respond(http::jsonResponse(200, http::encodeJson(zones)));
  });
}

} // namespace almondgate::entry
