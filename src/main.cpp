#include "client/command.h"
#include "platform.h"

/// Runs the command line with the adapter of the platform that this build is for.
int main(int argc, const char **argv)
{
    return lavenderhall::runCommandLine(argc, argv, lavenderhall::platform::adapter());
}
