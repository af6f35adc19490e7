#ifndef ALMONDGATE_TASK_DESCRIPTOR_LIMITS_HPP
#define ALMONDGATE_TASK_DESCRIPTOR_LIMITS_HPP

#include <cstddef>

namespace almondgate::task {

/// What a descriptor of the process is used for. Connections of the inner
/// protocol are Internal once their peer has shown the secret.
enum class DescriptorKind { Inbound, Outbound, Internal };

/// Divides the descriptors of a process between connections and the rest.
/// Units: descriptors.
struct DescriptorLimits {
  /// Inbound and outbound connections together.
  size_t Connections = 0;
  /// The most of each kind, which leaves the other kind a share that it always
  /// gets.
  size_t Inbound = 0;
  size_t Outbound = 0;
  /// Left to files, the inner protocol and probes, which never wait.
  size_t Reserved = 0;

  bool operator==(const DescriptorLimits &) const = default;
};

/// Returns the limits for a process that may open `n` descriptors.
DescriptorLimits planDescriptors(size_t n);

/// Returns the limits of this process. Source: RLIMIT_NOFILE of getrlimit(2).
DescriptorLimits processDescriptorLimits();

} // namespace almondgate::task

#endif
