#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include <glog/logging.h>

int main(int argc, char **argv)
{
    // Simulated runs log thousands of events. Only errors are useful in the output of a failed test.
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = google::GLOG_ERROR;
    return Catch::Session().run(argc, argv);
}
