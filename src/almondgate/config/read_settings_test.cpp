#include "almondgate/config/read_settings.hpp"

#include "parse_value.hpp"

#include <doctest/doctest.h>

#include <cstdlib>
#include <functional>

using namespace almondgate;
using config::ControlSettings;

namespace {

const std::vector<std::string> ControlArgs = {"almondgate-control",
                                              "--secret=a-secret-of-16-bytes",
                                              "--inner=10.0.0.1:7000",
                                              "--status=10.0.0.1:7001",
                                              "--zone=a",
                                              "--control=10.0.0.1:1,10.0.0.2:1",
                                              "--control-port=7000",
                                              "--data=/data",
                                              "--name=c0",
                                              "--vm-service=10.0.0.9:1",
                                              "--memory-limit-mb=260",
                                              "--stop-order-timeout-ms=200",
                                              "--longest-lease-ms=8000",
                                              "--found=true",
                                              "--advice-service=10.0.0.8:1",
                                              "--tolerated-losses=1",
                                              "--public=10.0.0.1:8345"};

std::vector<std::string> withArg(std::vector<std::string> args,
                                 const std::string &arg) {
  const std::string flag = arg.substr(0, arg.find('=') + 1);
  std::erase_if(args, [&](const auto &a) { return a.starts_with(flag); });
  args.push_back(arg);
  return args;
}

struct ControlCase {
  const char *Arg;
  std::function<void(ControlSettings &)> Change;
  size_t Warnings;
};

ControlSettings controlSettings() {
  return config::readControlSettings(ControlArgs).value().Values;
}

} // namespace

TEST_CASE("a process starts with a value that is empty, a fraction or out of "
          "range") {
  const std::vector<ControlCase> rows = {
      {"--found=1", [](auto &) {}, 0},
      {"--found=True", [](auto &) {}, 0},
      {"--found=", [](auto &s) { s.BootstrapCluster = false; }, 0},
      {"--found=0", [](auto &s) { s.BootstrapCluster = false; }, 0},
      {"--found=maybe", [](auto &s) { s.BootstrapCluster = false; }, 1},
      {"--name=", [](auto &s) { s.Name = "10.0.0.1:7000"; }, 0},
      {"--vm-service=", [](auto &s) { s.VmService = {}; }, 0},
      {"--vm-service=a.example:1", [](auto &s) { s.VmService = {}; }, 1},
      {"--advice-service=", [](auto &s) { s.AdviceService = {}; }, 0},
      {"--public=", [](auto &s) { s.Public = {}; }, 0},
      {"--status=", [](auto &s) { s.Common.StatusAddress = {}; }, 1},
      {"--status=10.0.0.1:", [](auto &s) { s.Common.StatusAddress = {}; }, 2},
      {"--zone=", [](auto &s) { s.Common.Zone = {}; }, 1},
      {"--control=", [](auto &s) { s.Common.Control = {}; }, 1},
      {"--control=10.0.0.1:5,, 10.0.0.2:1 ,10.0.0.1:6,", [](auto &) {}, 0},
      {"--control=10.0.0.1:1,x,10.0.0.2:1", [](auto &) {}, 1},
      {"--control-port=7000.0", [](auto &) {}, 0},
      {"--control-port=",
       [](auto &s) {
         s.Common.Control = {{"10.0.0.1", 1}, {"10.0.0.2", 1}};
       },
       0},
      {"--control-port=70000",
       [](auto &s) {
         s.Common.Control = {{"10.0.0.1", 1}, {"10.0.0.2", 1}};
       },
       1},
      {"--tolerated-losses=1.0", [](auto &) {}, 0},
      {"--tolerated-losses=5", [](auto &s) { s.ToleratedLosses = 4; }, 1},
      {"--tolerated-losses=-7", [](auto &s) { s.ToleratedLosses = -1; }, 1},
      {"--tolerated-losses=", [](auto &s) { s.ToleratedLosses = -1; }, 0},
      {"--longest-lease-ms=", [](auto &s) { s.LongestLease = {6000}; }, 0},
      {"--longest-lease-ms=8e3", [](auto &) {}, 0},
      {"--longest-lease-ms=long", [](auto &s) { s.LongestLease = {6000}; }, 1},
      {"--remote-factor=1.5", [](auto &s) { s.RemoteFactor = 1.5; }, 0},
      {"--remote-factor=3", [](auto &s) { s.RemoteFactor = 3; }, 0},
      {"--remote-factor=", [](auto &) {}, 0},
      {"--remote-factor=0.5", [](auto &s) { s.RemoteFactor = 1; }, 1},
      {"--remote-factor=far", [](auto &) {}, 1},
      {"--stop-order-timeout-ms=200.0", [](auto &) {}, 0},
      {"--stop-order-timeout-ms=2e2", [](auto &) {}, 0},
      {"--stop-order-timeout-ms=200.9", [](auto &) {}, 0},
      {"--stop-order-timeout-ms=", [](auto &s) { s.RunStopTimeout = {1000}; },
       0},
      {"--stop-order-timeout-ms=1e99",
       [](auto &s) { s.RunStopTimeout = {3600000}; }, 1},
      {"--stop-order-timeout-ms=soon",
       [](auto &s) { s.RunStopTimeout = {1000}; }, 1},
      {"--stop-delay-ms=-1", [](auto &s) { s.Common.StopDelay = {0}; }, 1},
      {"--memory-limit-mb=260.0", [](auto &) {}, 0},
      {"--memory-limit-mb=",
       [](auto &s) { s.Common.Memory = core::planMemory(256); }, 0},
      {"--memory-limit-mb=1",
       [](auto &s) { s.Common.Memory = core::planMemory(32); }, 1},
      {"--memory-limit-mb=-1",
       [](auto &s) { s.Common.Memory = core::planMemory(256); }, 1},
      {"--memory-limit-mb=1e15",
       [](auto &s) { s.Common.Memory = core::planMemory(1 << 20); }, 1},
      {"--log-format=xml", [](auto &) {}, 1},
      {"--log-level=", [](auto &) {}, 0},
      {"--log-level=loud", [](auto &) {}, 1},
  };
  for (const auto &row : rows) {
    CAPTURE(row.Arg);
    auto expected = controlSettings();
    row.Change(expected);
    const auto read =
        config::readControlSettings(withArg(ControlArgs, row.Arg));
    REQUIRE_MESSAGE(bool(read), row.Arg);
    CHECK(read.value().Values == expected);
    CHECK(read.value().Warnings.size() == row.Warnings);
  }
}

TEST_CASE("only the identity of a process is required") {
  for (const auto *arg : {"--secret=", "--secret=short", "--inner=",
                          "--inner=10.0.0.1:", "--data=", "--init-as=a"}) {
    const auto read = config::readControlSettings(withArg(ControlArgs, arg));
    CHECK_FALSE_MESSAGE(bool(read), arg);
  }
  const std::vector<std::string> least = {"almondgate-entry",
                                          "--secret=a-secret-of-16-bytes",
                                          "--inner=10.0.0.1:7000"};
  CHECK_FALSE(bool(config::readEntrySettings(least)));
  const auto read =
      config::readEntrySettings(withArg(least, "--public=10.0.0.1:8340"));
  REQUIRE(bool(read));
  CHECK(read.value().Values.Common.Control.empty());
  CHECK(read.value().Warnings.size() == 3);
}

TEST_CASE("an empty environment variable counts as not given") {
  const std::vector<std::pair<const char *, int64_t>> rows = {
      {"", 1000}, {" ", 1000}, {"2e2", 200}, {"200.0", 200}};
  for (const auto &[value, expected] : rows) {
    ::setenv("ALMONDGATE_STOP_DELAY_MS", value, 1);
    const auto read = config::readControlSettings(ControlArgs);
    ::unsetenv("ALMONDGATE_STOP_DELAY_MS");
    REQUIRE(bool(read));
    CHECK(read.value().Values.Common.StopDelay.Count == expected);
  }
}

// Guards against a process that does not start because a deployment tool left
// the placeholder of a setting unfilled.
TEST_CASE("a placeholder that was not filled gives the default and a warning") {
  const std::vector<std::string> names = {
      "ALMONDGATE_MEMORY_LIMIT_MB", "ALMONDGATE_LONGEST_LEASE_MS",
      "ALMONDGATE_REMOTE_FACTOR", "ALMONDGATE_STOP_ORDER_TIMEOUT_MS"};
  std::vector<std::string> args = ControlArgs;
  std::erase_if(args, [](const auto &arg) {
    return arg.starts_with("--memory-limit-mb") ||
           arg.starts_with("--longest-lease-ms") ||
           arg.starts_with("--stop-order-timeout-ms");
  });
  for (const auto &name : names)
    ::setenv(name.c_str(), "{{bounds.of-the-deployment}}", 1);
  const auto read = config::readControlSettings(args);
  for (const auto &name : names)
    ::unsetenv(name.c_str());
  REQUIRE(bool(read));
  CHECK(read.value().Warnings.size() == names.size());
  const auto &settings = read.value().Values;
  CHECK(settings.Common.Memory == core::planMemory(0));
  CHECK(settings.LongestLease.Count == 6000);
  CHECK(settings.RemoteFactor == 2.0);
  CHECK(settings.RunStopTimeout.Count == 1000);
}

TEST_CASE("an operator without a valid key is refused, the others are not") {
  const std::string key(64, 'a');
  const auto read = config::readEntrySettings(
      {"almondgate-entry", "--secret=a-secret-of-16-bytes", "--zone=a",
       "--inner=10.0.0.1:7000", "--public=10.0.0.1:1", "--status=10.0.0.1:2",
       "--control=10.0.0.1:3", "--operator-keys=bob=1,,alice=" + key});
  REQUIRE(bool(read));
  CHECK(read.value().Values.OperatorKeys ==
        std::map<std::string, core::OperatorId>{
            {key, core::OperatorId("alice")}});
  CHECK(read.value().Warnings.size() == 1);
}

TEST_CASE("numbers are rounded down, other text is no number") {
  using config::parseNumber;
  CHECK(parseNumber("200") == 200);
  CHECK(parseNumber("200.9") == 200);
  CHECK(parseNumber("-0.5") == -1);
  CHECK(parseNumber("1e30") == INT64_MAX);
  CHECK(parseNumber("-1e30") == INT64_MIN);
  for (const auto *text : {"", "x", "1x", "nan", "inf", "1e999", "0x10", "+1"})
    CHECK_FALSE_MESSAGE(parseNumber(text).has_value(), text);
}
