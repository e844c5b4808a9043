// The scripts of the review. usage: rig CASE DIRECTORY, in the repository's root, after the build of the deploy file.
//
// Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
#include "cases.h"

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: rig CASE DIRECTORY\n";
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    const char *trouble = getenv("TROUBLE");
    const bool disturb = trouble == nullptr || std::string(trouble) != "0";
    static const std::map<std::string, int (*)(const std::string &, bool)> cases{{"gang", rig::gangCase},
                                                                                 {"ends", rig::endsCase},
                                                                                 {"idle", rig::idleCase},
                                                                                 {"schedule", rig::scheduleCase},
                                                                                 {"lease", rig::leaseCase}};
    const auto it = cases.find(argv[1]);
    if (it == cases.end()) {
        std::cerr << "no such case\n";
        return 2;
    }
    try {
        return it->second(argv[2], disturb);
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
}
