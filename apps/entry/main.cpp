// The entry daemon.
#include <gflags/gflags.h>
#include <glog/logging.h>

#include "runtime/EntryDaemon.h"
#include "runtime/ForwardDaemon.h"

DEFINE_string(config, "", "The TOML settings file.");
DEFINE_bool(check, false, "Check the settings and exit.");

namespace {

// Settings with a table [forward] are those of an entry that forwards by itself.
int
RunForwarding()
{
  const auto settings = sycamorepost::LoadSettings<sycamorepost::ForwardSettings>(
    FLAGS_config, sycamorepost::ParseForwardSettings);
  if (!settings) {
    return 2;
  }
  return FLAGS_check ? 0 : sycamorepost::ForwardDaemon(*settings, FLAGS_config).Run();
}

int
RunBesideSidecars()
{
  const auto settings = sycamorepost::LoadSettings<sycamorepost::EntrySettings>(
    FLAGS_config, sycamorepost::ParseEntrySettings);
  if (!settings) {
    return 2;
  }
  return FLAGS_check ? 0 : sycamorepost::EntryDaemon(*settings).Run();
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::SetUsageMessage("serves callers: sycamorepost-entry --config FILE [--check]");
  FLAGS_logtostderr = true;
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  google::InitGoogleLogging(aArguments[0]);
  std::string ignored; // A file that cannot be read is reported when its settings are loaded.
  const auto text = sycamorepost::ReadFile(FLAGS_config, ignored);
  return text && sycamorepost::IsForwardSettings(*text) ? RunForwarding() : RunBesideSidecars();
}
