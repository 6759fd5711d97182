// Encodes a message, decodes it and prints it.

#include <iostream>
#include <lycheestand/wire.h>

using namespace lycheestand;
using namespace lycheestand::wire;

int
main()
{
  std::string bytes = Encode(Recall{ WorkspaceId("kalkki"), Tokens(500) });
  auto message = Decode(bytes);
  if (message.has_value()) {
    std::cout << bytes.size() << " bytes, recall of "
              << std::get<Recall>(message.value()).tokens << " tokens\n";
  }
}
