#ifndef ALMONDGATE_CORE_ID_HPP
#define ALMONDGATE_CORE_ID_HPP

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace almondgate::core {

/// A strongly typed name: ids with different tags don't convert to each other.
template <class Tag> class Id {
public:
  Id() = default;
  explicit Id(std::string text) : Text(std::move(text)) {}

  const std::string &str() const { return Text; }
  bool empty() const { return Text.empty(); }

  auto operator<=>(const Id &) const = default;

private:
  std::string Text;
};

using PoolId = Id<struct PoolTag>;
using VmId = Id<struct VmTag>;
using TeamId = Id<struct TeamTag>;
using QueueId = Id<struct QueueTag>;
using RackId = Id<struct RackTag>;
using ZoneId = Id<struct ZoneTag>;
using WaveId = Id<struct WaveTag>;
using RequestId = Id<struct RequestTag>;
using ProcessId = Id<struct ProcessTag>;
using KeyHash = Id<struct KeyHashTag>;
using OperatorId = Id<struct OperatorTag>;

} // namespace almondgate::core

template <class Tag> struct std::hash<almondgate::core::Id<Tag>> {
  size_t operator()(const almondgate::core::Id<Tag> &id) const {
    return std::hash<std::string>()(id.str());
  }
};

#endif
