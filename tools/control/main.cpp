#include "control.h"
#include "daemon.h"

int main(int ArgCount, char **Args) {
  namespace cl = clementinelane;
  return cl::runDaemon(
      ArgCount, Args,
      {"clementine_control", [](const cl::settings &Settings,
                                const std::function<void()> &WaitForStop) {
         const cl::system_runtime_clock Clock;
         cl::control Control(Settings, Clock);
         Control.open();
         WaitForStop();
         Control.leave();
       }});
}
