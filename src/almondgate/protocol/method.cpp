#include "almondgate/protocol/method.hpp"

#include <array>

namespace almondgate::protocol {

static constexpr std::array MethodNames = {"watch",
                                           "propose",
                                           "audit",
                                           "consensus",
                                           "replace-member",
                                           "list-members",
                                           "wave-holdups",
                                           "identity",
                                           "grant",
                                           "release",
                                           "report",
                                           "inventory",
                                           "cancel",
                                           "job",
                                           "heartbeat",
                                           "leave",
                                           "configure",
                                           "read-config",
                                           "read-config-source",
                                           "start-wave",
                                           "read-wave",
                                           "start-run",
                                           "stop-run",
                                           "pace-run",
                                           "renew-runs",
                                           "join",
                                           "set-evacuation",
                                           "list-evacuations",
                                           "heartbeat-batch",
                                           "explain",
                                           "read-config-answer"};
static_assert(MethodNames.size() == size_t(Method::ReadConfigAnswer) + 1,
              "each method has a name");

const char *methodName(Method method) {
  return MethodNames[static_cast<size_t>(method)];
}

core::Result<Method> parseMethod(const std::string &name) {
  for (size_t i = 0; i < MethodNames.size(); ++i)
    if (name == MethodNames[i])
      return static_cast<Method>(i);
  return core::Error{core::ErrorCode::NotFound,
                     "unknown method '" + name + "'"};
}

} // namespace almondgate::protocol
