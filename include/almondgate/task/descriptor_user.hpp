#ifndef ALMONDGATE_TASK_DESCRIPTOR_USER_HPP
#define ALMONDGATE_TASK_DESCRIPTOR_USER_HPP

#include "almondgate/core/time_ms.hpp"

#include <functional>
#include <optional>

namespace almondgate::task {

/// The functions by which a DescriptorBudget asks a server or a client to close
/// idle connections and tells it that a descriptor may be free.
struct DescriptorUser {
  /// When the connection that has been idle longest became idle; std::nullopt
  /// if none may be closed.
  std::function<std::optional<core::TimeMs>()> LongestIdle;
  /// Closes that connection and releases its lease before it returns.
  std::function<void()> CloseLongestIdle;
  /// To try again what DescriptorBudget::take() refused.
  std::function<void()> OnRoom;
};

} // namespace almondgate::task

#endif
