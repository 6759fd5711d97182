#include <iostream>
#include <lycheestand/client.h>
#include <sodium.h>

int
main(int aCount, char** aArguments)
{
  if (sodium_init() < 0) {
    std::cerr << "lycheestand: libsodium can't be initialized: no source of "
                 "random numbers\n";
    return static_cast<int>(lycheestand::client::ExitCode::Usage);
  }
  return lycheestand::client::Run(lycheestand::client::MakeEnvironment(),
                                  { aArguments + 1, aArguments + aCount });
}
