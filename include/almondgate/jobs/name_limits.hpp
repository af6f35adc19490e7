#ifndef ALMONDGATE_JOBS_NAME_LIMITS_HPP
#define ALMONDGATE_JOBS_NAME_LIMITS_HPP

#include <cstddef>

namespace almondgate::jobs {

/// Maximum size of an id, name or label, in bytes.
inline constexpr size_t MaxNameBytes = 256;

/// Maximum number of labels of an endpoint.
inline constexpr size_t MaxLabels = 64;

/// Maximum number of VMs of a wave.
inline constexpr size_t MaxWaveVms = 20000;

/// Maximum number of queues, of pools and of client accounts of a
/// configuration, and of API keys of all its client accounts.
inline constexpr size_t MaxQueues = 10000;
inline constexpr size_t MaxPools = 10000;
inline constexpr size_t MaxTeams = 10000;
inline constexpr size_t MaxKeys = 50000;

/// Maximum size of a host, path prefix or API key, in bytes.
inline constexpr size_t MaxAddressBytes = 4096;

/// Maximum of QueueSpec::Stretch. The product with any run time stays within
/// the range of int64_t.
inline constexpr double MaxStretch = 1e6;

} // namespace almondgate::jobs

#endif
