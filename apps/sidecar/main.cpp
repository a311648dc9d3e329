// The sidecar daemon: controls all calls to one target.
#include <gflags/gflags.h>

#include "runtime/ProcessLog.h"
#include "runtime/SidecarDaemon.h"

DEFINE_string(config, "", "Path of the TOML settings file.");
DEFINE_bool(check, false, "Validate the settings file and exit.");

int
main(int aCount, char** aArguments)
{
  gflags::SetUsageMessage(
    "runs the sidecar of one target: sycamorepost-sidecar --config FILE [--check]");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  const sycamorepost::ProcessLog log(aArguments[0]);
  const auto settings = sycamorepost::LoadSettings<sycamorepost::SidecarSettings>(
    FLAGS_config, sycamorepost::ParseSidecarSettings);
  if (!settings) {
    return 2;
  }
  return FLAGS_check ? 0 : sycamorepost::SidecarDaemon(*settings).Run();
}
