#include "control_program.hpp"

using namespace almondgate;

int main(int argc, char **argv) {
  return apps::controlMain(
      argc, argv, [](task::Loop &, const config::ControlSettings &) {
        return apps::ControlSide{};
      });
}
