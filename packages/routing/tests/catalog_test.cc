// Lookups of routes, workspaces and services.
#include "marigoldquay/routing/catalog.h"

#include <boost/test/unit_test.hpp>

namespace marigoldquay {
namespace {

CatalogRoute RouteTo(const std::string& host, const std::string& prefix,
                     const std::string& service) {
  CatalogRoute route;
  route.name = host + prefix;
  route.host = host;
  route.path_prefix = prefix;
  route.services = {{service, 1}};
  return route;
}

Catalog MakeCatalog() {
  CatalogContents contents;
  contents.version = 3;
  contents.routes = {RouteTo("a.example", "/", "root"), RouteTo("a.example", "/x/y/", "deep"),
                     RouteTo("a.example", "/x/", "shallow")};
  contents.workspaces = {{"w1", {"k1", "k2"}, std::nullopt, {}}, {"w2", {"k3"}, 1, {}}};
  contents.services = {{"root", 0, std::nullopt}};
  return Catalog(contents);
}

BOOST_AUTO_TEST_SUITE(catalog)

// Guards against routing a request by a shorter prefix when a longer one matches.
BOOST_AUTO_TEST_CASE(longest_matching_prefix_is_selected) {
  const Catalog catalog = MakeCatalog();
  BOOST_TEST(catalog.FindRoute("a.example", "/x/y/z")->services[0].service == "deep");
  BOOST_TEST(catalog.FindRoute("a.example", "/x/z")->services[0].service == "shallow");
  BOOST_TEST(catalog.FindRoute("a.example", "/x")->services[0].service == "root");
}

BOOST_AUTO_TEST_CASE(host_lookup_ignores_case_and_port) {
  const Catalog catalog = MakeCatalog();
  BOOST_TEST(catalog.FindRoute("A.Example:8080", "/x/") != nullptr);
  BOOST_TEST(catalog.FindRoute("b.example", "/x/") == nullptr);
}

BOOST_AUTO_TEST_CASE(key_lookup_returns_its_workspace) {
  const Catalog catalog = MakeCatalog();
  BOOST_TEST(catalog.FindWorkspaceByKey("k2")->name == "w1");
  BOOST_TEST(catalog.FindWorkspaceByKey("k3")->name == "w2");
  BOOST_TEST(catalog.FindWorkspaceByKey("k4") == nullptr);
  BOOST_TEST(catalog.FindWorkspaceByKey("") == nullptr);
}

BOOST_AUTO_TEST_CASE(lookup_of_unknown_name_returns_null) {
  const Catalog catalog = MakeCatalog();
  BOOST_TEST(catalog.FindService("root") != nullptr);
  BOOST_TEST(catalog.FindService("gone") == nullptr);
  BOOST_TEST(catalog.FindWorkspace("w3") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
