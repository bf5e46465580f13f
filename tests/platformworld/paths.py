"""A world in which each machine has a path of its own to the store."""

from platformworld.httpd import Server, Silence
from platformworld.world import World, eventually


class PathsWorld(World):
    """Machines in `cut` hear nothing of the store. The long reads of topics in `deaf`, pairs of machine and topic, get no
    answer, as on connections that went silent; other calls do."""

    def before_start(self):
        self.cut: set[str] = set()
        self.deaf: set[tuple[str, str]] = set()
        self.paths = {node.name: Server(self.loop, "127.0.0.1", 0, self.path_of(node.name)).start()
                      for node in self.nodes}

    def cut_off(self, node):
        """Cuts the machine's path once it has heard from the store that the others serve callers."""
        others = {other.name for other in self.nodes} - {node.name}

        def knows_others():
            serving = {event["member"]: event["serving"] for event in node.events("member.changed")}
            return all(serving.get(name) for name in others)
        eventually(knows_others, 10, f"{node.name} knows the other machines")
        self.cut.add(node.name)

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
