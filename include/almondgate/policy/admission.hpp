#ifndef ALMONDGATE_POLICY_ADMISSION_HPP
#define ALMONDGATE_POLICY_ADMISSION_HPP

#include "almondgate/core/result.hpp"
#include "almondgate/model/view.hpp"

#include <optional>
#include <string>

namespace almondgate::policy {

/// The parts of a caller's request that decide on its admission.
struct AdmissionRequest {
  core::QueueId Queue;
  /// The API key sent by the caller; empty if it sent none.
  std::string Key;
  /// The queue's class and default size are used if these are not set.
  std::optional<model::WorkClass> Class;
  std::optional<core::Size> Need;

  bool operator==(const AdmissionRequest &) const = default;
};

/// An admitted request: the team and pool it is accounted to, its class and
/// its size.
struct Admission {
  core::TeamId Team;
  core::PoolId Pool;
  model::WorkClass Class = model::WorkClass::Batch;
  core::Size Need;

  bool operator==(const Admission &) const = default;
};

/// Checks the queue, API key, team and size of a request. Errors: NotFound,
/// Unauthenticated, Forbidden, NeverFits.
core::Result<Admission> admit(const model::View &view,
                              const AdmissionRequest &request);

} // namespace almondgate::policy

#endif
