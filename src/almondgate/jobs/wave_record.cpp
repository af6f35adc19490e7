#include "almondgate/jobs/wave_record.hpp"
#include "almondgate/jobs/name_limits.hpp"

#include <algorithm>

namespace almondgate::jobs {

namespace {

core::Error invalid(const char *text) {
  return {core::ErrorCode::InvalidArgument, text};
}

} // namespace

core::Status checkWave(const WaveRecord &wave) {
  if (wave.Number < 0 || wave.UpperLimit < 0 || wave.DurationMs < 0)
    return invalid("a number of the wave is negative");
  if (wave.Vms.size() > MaxWaveVms)
    return invalid("the wave has too many VMs");
  if (std::any_of(wave.Vms.begin(), wave.Vms.end(), [](const core::VmId &vm) {
        return vm.str().size() > MaxNameBytes;
      }))
    return invalid("the id of a VM of the wave is too long");
  return core::ok();
}

} // namespace almondgate::jobs
