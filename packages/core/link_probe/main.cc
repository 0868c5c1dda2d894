// Links every library of the core. The test core_links_no_io checks which
// shared libraries this program needs.
int
main()
{
  return 0;
}
