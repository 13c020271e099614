#include "client/command.h"
#include "platform.h"

int main(int argc, const char **argv)
{
    return lavenderhall::runCommandLine(argc, argv, lavenderhall::platform::adapter());
}
