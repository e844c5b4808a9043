#include "standinargs_pvt.h"

#include <cstdio>
#include <cstdlib>
#include <getopt.h>
#include <vector>

namespace fescueledge {

namespace {

[[noreturn]] void usage(const char *program, const std::map<std::string, std::string> &defaults)
{
    std::fprintf(stderr, "usage: %s", program);
    for (const auto &[name, value] : defaults) {
        std::fprintf(stderr, " [--%s %s]", name.c_str(), value.empty() ? "VALUE" : value.c_str());
    }
    std::fprintf(stderr, "\n");
    std::exit(2);
}

} // namespace

std::map<std::string, std::string> parseStandInArgs(int argc, char **argv, std::map<std::string, std::string> defaults)
{
    std::vector<option> options;
    std::vector<std::string> names;
    names.reserve(defaults.size());
    options.reserve(defaults.size() + 1);
    for (const auto &[name, value] : defaults) {
        names.push_back(name);
    }
    for (const std::string &name : names) {
        options.push_back(option{name.c_str(), required_argument, nullptr, 0});
    }
    options.push_back(option{nullptr, 0, nullptr, 0});
    int index = 0;
    int code = 0;
    while ((code = getopt_long(argc, argv, "", options.data(), &index)) != -1) {
        if (code != 0) {
            usage(argv[0], defaults);
        }
        defaults[names[static_cast<std::size_t>(index)]] = optarg;
    }
    return defaults;
}

int portOf(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    const int port = colon == std::string::npos ? 0 : std::atoi(address.c_str() + colon + 1);
    if (port <= 0) {
        std::fprintf(stderr, "'%s' is not of the form ip:port\n", address.c_str());
        std::exit(2);
    }
    return port;
}

std::string hostOf(const std::string &address)
{
    return address.substr(0, address.rfind(':'));
}

} // namespace fescueledge
