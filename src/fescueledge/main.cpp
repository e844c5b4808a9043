#include "cli_pvt.h"
#include "cliclock_pvt.h"
#include "commands_pvt.h"
#include "httptransport_pvt.h"

#include <cstdlib>
#include <iostream>
#include <thread>

using namespace fescueledge;

namespace {

class RealClock : public CliClock
{
public:
    TimePoint now() override
    {
        return Clock::now();
    }

    void sleepFor(Milliseconds time) override
    {
        std::this_thread::sleep_for(time);
    }
};

std::map<std::string, std::string> readVariables()
{
    std::map<std::string, std::string> variables;
    for (const char *name : {"FESCUELEDGE_NODES", "FESCUELEDGE_TOKEN_FILE", "USER", "LOGNAME"}) {
        const char *value = std::getenv(name);
        if (value != nullptr) {
            variables[name] = value;
        }
    }
    return variables;
}

} // namespace

int main(int argc, char **argv)
{
    RealClock clock;
    CliEnvironment environment{readVariables(), std::cout, std::cerr, clock, [](const std::string &token) {
                                   return std::make_unique<HttpTransport>(token);
                               }};
    return static_cast<int>(runCli(argc, argv, environment));
}
