// Compiles the sources of Boost.Asio and Boost.Beast once, so that all other
// translation units include only their declarations.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
