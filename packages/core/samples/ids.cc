// Shows strong ids and units: they print as their values, and values of
// different types can't be mixed.

#include <iostream>
#include <lycheestand/core.h>

using namespace lycheestand;

int
main()
{
  Tokens paid(1000);
  Tokens spent(180);
  std::cout << WorkspaceId("kalkki") << " has " << paid - spent << " left\n";
  auto address = ParseAddress("127.0.0.1:0");
  std::cout << address.error() << "\n";
}
