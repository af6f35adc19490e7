#include "almondgate/core/digest.hpp"
#include "almondgate/core/time_ms.hpp"
#include "almondgate/ctl/client.hpp"
#include "almondgate/ctl/run.hpp"

#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>

using namespace almondgate;

namespace {

constexpr int KeyBytes = 24;
constexpr std::chrono::seconds WatchInterval{1};

core::Result<std::string> readFile(const std::string &path) {
  std::ifstream in(path);
  if (!in)
    return core::Error{core::ErrorCode::Io, "can't be read"};
  std::ostringstream out;
  out << in.rdbuf();
  return std::move(out).str();
}

} // namespace

int main(int argc, char **argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const auto line =
      ctl::readCommandLine(std::vector<std::string>(argv, argv + argc));
  if (!line) {
    std::fprintf(stderr, "%s\n", line.error().Text.c_str());
    return ctl::BadUsage;
  }
  if (line.value().Ended)
    return line.value().ExitCode;
  ctl::Client client(line.value().Entries, line.value().Key);
  ctl::RunHooks hooks;
  hooks.Call = [&](const std::string &method, const std::string &path,
                   const std::string &body) {
    return client.call(method, path, body);
  };
  hooks.ReadFile = readFile;
  hooks.NewKey = [] { return core::randomHex(KeyBytes); };
  hooks.NewChangeNumber = [] { return uint64_t(core::wallClockMs()); };
  hooks.Print = [](const std::string &text) {
    std::fputs(text.c_str(), stdout);
  };
  hooks.PrintError = [](const std::string &text) {
    std::fprintf(stderr, "%s\n", text.c_str());
  };
  hooks.Pause = [] { std::this_thread::sleep_for(WatchInterval); };
  return ctl::run(line.value(), hooks);
}
