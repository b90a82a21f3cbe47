
sssss