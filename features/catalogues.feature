Feature: Catalogues in the docs match the code

  # Guards against an error code or event that operators cannot look up, because the
  # pages were not regenerated after a change of the registries.
  Scenario: Error codes and log events are listed as the code registers them
    When the catalogue pages are written from the registries
    Then they equal the pages in docs

  # Guards against policies or reducers that depend on I/O.
  Scenario: Reducers and policies import neither asyncio nor the network package
    When the imports of the pure packages are read
    Then none of them names asyncio, socket or primrosepitch.net
