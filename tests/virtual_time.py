"""The virtual clock of the experiments, under the name that the tests use."""

from rattanridge.measure import virtual_time

Loop = virtual_time.Loop
run = virtual_time.run
