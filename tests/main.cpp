#include <cppunit/CompilerOutputter.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>

#include <iostream>

/// Runs every suite registered in this test program; exits 0 only if all pass and at least one ran.
int main()
{
    CppUnit::TextUi::TestRunner runner;
    CppUnit::Test *suite = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
    const int cases = suite->countTestCases();
    runner.addTest(suite);
    runner.setOutputter(new CppUnit::CompilerOutputter(&runner.result(), std::cerr));
    const bool passed = runner.run("", false, true, false);
    return passed && cases > 0 ? 0 : 1;
}
