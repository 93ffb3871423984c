"""Stream servers and connections end before their event loop does."""

import asyncio
import gc

from rattanridge.web import streams


class Silent:
    """Reads without answering, and keeps the writers of its connections."""

    def __init__(self):
        self.writers = []

    async def serve(self, reader, writer):
        self.writers.append(writer)
        while await reader.read(100):
            pass


async def leave_open(silent, writers):
    """Return while a connection is open and its handler waits."""
    async with streams.StreamServer(silent.serve) as server:
        async with streams.connect(server.address) as (_, writer):
            writers.append(writer)
            while not silent.writers:
                await asyncio.sleep(0.001)


class TestEnd:
    # Guards against: a writer that is left open raises "Event loop is closed" in
    # whichever test the garbage collector runs, before Python 3.11.7.
    def test_no_writer_is_open_when_its_loop_closes(self):
        silent = Silent()
        writers = []
        asyncio.run(leave_open(silent, writers))
        writers += silent.writers
        assert len(writers) == 2
        assert all(writer.is_closing() for writer in writers)
        del writers, silent
        gc.collect()

    async def test_handlers_have_ended_when_the_server_has_stopped(self):
        silent = Silent()
        server = streams.StreamServer(silent.serve)
        await server.start()
        async with streams.connect(server.address) as (reader, writer):
            writer.write(b"x")
            while not silent.writers:
                await asyncio.sleep(0.001)
            await server.stop()
            assert not server.writers
            try:
                assert not await reader.read(1)
            except ConnectionError:
                pass
