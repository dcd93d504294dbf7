#include "process/Commands.h"

#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(config, "", "serve, node: the settings file of this instance; node: default from CASSIAHOLLOW_CONFIG");

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "a database proxy with session consistency\n"
        "  cassiahollow serve --config FILE   run an instance\n"
        "  cassiahollow node [--config FILE]  run an entry instance or a control member of the line protocol\n"
        "  cassiahollow check FILE            check a settings file\n"
        "  cassiahollow ctl COMMAND           operate a deployment; 'cassiahollow ctl' lists commands");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::vector<std::string> words(argv + 1, argv + argc);
    const std::string command = words.empty() ? "" : words[0];
    if (command == "serve" && words.size() == 1 && !FLAGS_config.empty())
        return cassiahollow::runServe(FLAGS_config);
    const char* environmentFile = std::getenv("CASSIAHOLLOW_CONFIG");
    const std::string nodeFile = FLAGS_config.empty() && environmentFile ? environmentFile : FLAGS_config;
    if (command == "node" && words.size() == 1 && !nodeFile.empty())
        return cassiahollow::runNode(nodeFile);
    if (command == "check" && words.size() == 2)
        return cassiahollow::runCheck(words[1]);
    if (command == "ctl")
        return cassiahollow::runControlCommand({ words.begin() + 1, words.end() });
    std::cerr << gflags::ProgramUsage() << '\n';
    return cassiahollow::ExitUsage;
}
