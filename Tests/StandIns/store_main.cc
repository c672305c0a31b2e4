#include <tclap/CmdLine.h>

#include <boost/asio/io_context.hpp>
#include <boost/system/system_error.hpp>
#include <iostream>

#include "StandIns/checked_args.h"
#include "StandIns/store_process.h"

namespace auburnfold {
namespace {

int Run(int argc, const char* const* argv) {
  TCLAP::CmdLine line("A stand-in for the platform's key-value service.", ' ',
                      AUBURNFOLD_VERSION);
  TCLAP::ValueArg<std::string> listen("", "listen", "Where it listens", true,
                                      "", "HOST:PORT", line);
  line.parse(argc, argv);
  const std::optional<http_address> address =
      ParseHttpAddress(listen.getValue());
  if (!address) {
    throw TCLAP::ArgException("is not HOST:PORT", "--listen");
  }
  boost::asio::io_context context(1);
  const store_process store(context, *address);
  std::cout << "store listens on " << address->host << ":" << address->port
            << std::endl;
  context.run();
  return 0;
}

}  // namespace
}  // namespace auburnfold

int main(int argc, char** argv) {
  try {
    return auburnfold::Run(argc, argv);
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.argId() << " " << error.error() << "\n";
    return auburnfold::kExitUsage;
  } catch (const boost::system::system_error& error) {
    std::cerr << error.what() << "\n";
    return auburnfold::kExitUnavailable;
  }
}
