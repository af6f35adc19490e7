#ifndef ALMONDGATE_POLICY_ADMISSION_HPP
#define ALMONDGATE_POLICY_ADMISSION_HPP

#include "almondgate/core/result.hpp"
#include "almondgate/model/view.hpp"

#include <optional>
#include <string>

namespace almondgate::policy {

/// What a caller says of its request.
struct AdmissionRequest {
  core::QueueId Queue;
  /// The key as the caller showed it; empty where there was none.
  std::string Key;
  std::optional<model::WorkClass> Class;
  std::optional<core::Size> Need;

  bool operator==(const AdmissionRequest &) const = default;
};

/// For whom and where a request may run.
struct Admission {
  core::TeamId Team;
  core::PoolId Pool;
  model::WorkClass Class = model::WorkClass::Batch;
  core::Size Need;

  bool operator==(const Admission &) const = default;
};

/// Checks queue, key, team and size. Errors: NotFound, Unauthenticated,
/// Forbidden, NeverFits.
core::Result<Admission> admit(const model::View &view,
                              const AdmissionRequest &request);

} // namespace almondgate::policy

#endif
