"""A world in which each machine has a path of its own to the store."""

from platformworld.httpd import Server, Silence
from platformworld.world import World


class PathsWorld(World):
    """Machines in `cut` hear nothing of the store. The long reads of topics in `deaf`, pairs of machine and topic, get no
    answer, as on connections that went silent; other calls do."""

    def before_start(self):
        self.cut: set[str] = set()
        self.deaf: set[tuple[str, str]] = set()
        self.paths = {node.name: Server(self.loop, "127.0.0.1", 0, self.path_of(node.name)).start()
                      for node in self.nodes}

    def path_of(self, name):
        async def handle(request):
            answer = await self.store.handle(request)
            is_follower = request.path == "/v1/log-read"
            if name in self.cut or is_follower and (name, request.query.get("topic")) in self.deaf:
                raise Silence
            return answer
        return handle

    def store_endpoint(self, node):
        return self.paths[node.name].endpoint
