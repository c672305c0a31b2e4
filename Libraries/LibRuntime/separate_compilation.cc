// Holds the compiled parts of Boost.Asio and Boost.Beast, so that the other
// sources need only their declarations.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
